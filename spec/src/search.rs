//! Exhaustive breadth-first search over the states of a model.

use pathfinding::prelude::bfs;
use std::{
    cell::Cell,
    fmt::{Debug, Display, Formatter},
    hash::{Hash, Hasher},
};

/// A specification expressed as an initial state and a successor function.
pub trait Model {
    /// State of the whole system. It must not contain random values or readings of a real clock, so
    /// that every search of a model visits equal states.
    type State: Clone + Eq + Hash;
    /// Transition between two states.
    type Event: Clone + Debug;
    /// Property that must hold in every state.
    type Invariant: Copy + Debug + Display + PartialEq;

    /// Returns the state from which the search starts.
    fn initial_state(&self) -> Self::State;

    /// Returns all events enabled in `state`, each with the state that it leads to.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Event, Self::State)>;

    /// Returns the invariants that `state` violates.
    fn violations(&self, state: &Self::State) -> Vec<Self::Invariant>;
}

/// Outcome of a search.
#[derive(Clone, Debug)]
pub struct SearchResult<M: Model> {
    /// Number of states whose successors were computed.
    pub states: usize,
    /// Largest number of events between the initial state and one of these states.
    pub depth: usize,
    /// Shortest path to a state that violates an invariant, if one is reachable.
    pub counterexample: Option<Counterexample<M>>,
}

/// Shortest path to a state that violates an invariant.
#[derive(Clone, Debug)]
pub struct Counterexample<M: Model> {
    /// Invariant that the last state violates.
    pub invariant: M::Invariant,
    /// Events from the initial state to the violation, in order.
    pub events: Vec<M::Event>,
}

/// A state with its distance from the initial state and the event that led to it; compared and
/// hashed by the state alone.
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

/// Visits all reachable states of `model` in breadth-first order, until one violates one of
/// `invariants`.
pub fn search<M: Model + Clone>(model: &M, invariants: &[M::Invariant]) -> SearchResult<M> {
    let (states, depth) = (Cell::new(0), Cell::new(0));
    let successors = |node: &Node<M>| {
        states.set(states.get() + 1);
        depth.set(depth.get().max(node.depth));
        let next_depth = node.depth + 1;
        let reached = model.successors(&node.state).into_iter();
        reached.map(move |(event, state)| Node { state, depth: next_depth, event: Some(event) })
    };
    let start = Node { state: model.initial_state(), depth: 0, event: None };
    let violation = |state: &M::State| {
        model.violations(state).into_iter().find(|invariant| invariants.contains(invariant))
    };
    let path = bfs(&start, successors, |node| violation(&node.state).is_some());
    SearchResult {
        states: states.get(),
        depth: depth.get(),
        counterexample: path.and_then(|path| {
            let invariant = violation(&path.last()?.state)?;
            let events = path.into_iter().filter_map(|node| node.event).collect();
            Some(Counterexample { invariant, events })
        }),
    }
}

impl<M: Model> Display for Counterexample<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "violation {} after {} events:", self.invariant, self.events.len())?;
        for (index, event) in self.events.iter().enumerate() {
            writeln!(f, "{:3}  {event:?}", index + 1)?;
        }
        Ok(())
    }
}
