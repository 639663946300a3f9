//! A macro that names each test case.

/// Makes one test of each named case by calling `function` with the case's arguments.
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
