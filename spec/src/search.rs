//! Complete breadth-first search over the states of a model.

use pathfinding::prelude::bfs;
use std::{
    cell::Cell,
    fmt::{Debug, Display, Formatter},
    hash::{Hash, Hasher},
};

/// A specification written as a successor function.
pub trait Model {
    /// State of the whole system, without anything that differs between two runs.
    type State: Clone + Eq + Hash;
    /// What happens between two states.
    type Event: Clone + Debug;
    /// Guarantee that must hold in each state.
    type Invariant: Copy + Debug + Display + PartialEq;

    /// Returns the state in which the search starts.
    fn start(&self) -> Self::State;

    /// Returns all events that may happen next, with the states that they lead to.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// Returns the guarantees that `state` breaks.
    fn broken(&self, state: &Self::State) -> Vec<Self::Invariant>;
}

/// What a search has found.
#[derive(Clone, Debug)]
pub struct Search<M: Model> {
    /// Number of states whose successors were computed.
    pub states: usize,
    /// Largest number of events from the start to one of these states.
    pub depth: usize,
    /// Shortest way to a state that breaks a guarantee.
    pub counterexample: Option<Counterexample<M>>,
}

/// The shortest way to a broken guarantee.
#[derive(Clone, Debug)]
pub struct Counterexample<M: Model> {
    /// The broken guarantee.
    pub invariant: M::Invariant,
    /// Events from the start, in order.
    pub events: Vec<M::Event>,
}

/// A state with the way to it; equality and hash are those of the state.
#[derive(Clone)]
struct Node<M: Model> {
    state: M::State,
    depth: usize,
    event: Option<M::Event>,
}

impl<M: Model> PartialEq for Node<M> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<M: Model> Eq for Node<M> {}

impl<M: Model> Hash for Node<M> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Visits all states of `model` that can be reached, in the order of their distance, until one
/// breaks one of the `watched` guarantees.
pub fn search<M: Model + Clone>(model: &M, watched: &[M::Invariant]) -> Search<M> {
    let (states, depth) = (Cell::new(0), Cell::new(0));
    let successors = |node: &Node<M>| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(node.depth));
        let next = node.depth + 1;
        let reached = model.successors(&node.state).into_iter();
        reached.map(move |(event, state)| Node { state, depth: next, event: Some(event) })
    };
    let start = Node { state: model.start(), depth: 0, event: None };
    let broken = |state: &M::State| {
        model.broken(state).into_iter().find(|invariant| watched.contains(invariant))
    };
    let path = bfs(&start, successors, |node| broken(&node.state).is_some());
    Search {
        states: states.get(),
        depth: depth.get(),
        counterexample: path.and_then(|path| {
            let invariant = broken(&path.last()?.state)?;
            let events = path.into_iter().filter_map(|node| node.event).collect();
            Some(Counterexample { invariant, events })
        }),
    }
}

impl<M: Model> Display for Counterexample<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{} is broken after {} events:", self.invariant, self.events.len())?;
        for (index, event) in self.events.iter().enumerate() {
            writeln!(f, "{:3}  {event:?}", index + 1)?;
        }
        Ok(())
    }
}
