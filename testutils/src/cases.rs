//! Macro for table-driven tests with named cases.

/// Defines one test for each named case; the test calls the function with the arguments of the
/// case.
///
/// ```
/// fn check_sum(a: u32, b: u32, sum: u32) {
///     assert_eq!(a + b, sum);
/// }
///
/// testutils::cases! {
///     check_sum {
///         /// Guards against a wrong neutral element.
///         zero_is_neutral: (0, 3, 3),
///         small_numbers: (1, 2, 3),
///     }
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($($function:ident { $($(#[$meta:meta])* $name:ident: ($($argument:expr),* $(,)?)),* $(,)? })*) => {
        $($(
            $(#[$meta])*
            #[test]
            fn $name() {
                $function($($argument),*);
            }
        )*)*
    };
}
