//! Macros that apply common sets of derives, so that all types of a kind have the same ones.

/// Derives for plain data: `Clone`, `Debug` and `PartialEq`.
///
/// ```
/// derives::data! {
///     /// A point on a plane.
///     pub struct Point {
///         pub x: f64,
///     }
/// }
/// assert_eq!(Point { x: 1.0 }, Point { x: 1.0 }.clone());
/// ```
#[macro_export]
macro_rules! data {
    ($($item:item)*) => { $( #[derive(Clone, Debug, PartialEq)] $item )* };
}

/// Derives for small values that are used as keys: those of [`data!`], and `Copy`, `Eq`, `Hash`,
/// `PartialOrd` and `Ord`.
///
/// ```
/// derives::value! {
///     pub struct Rank(pub u8);
/// }
/// assert!(Rank(1) < Rank(2));
/// ```
#[macro_export]
macro_rules! value {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)] $item )*
    };
}

/// Defines an enum whose variants have names in settings and logs: the derives of [`value!`], a constant
/// `ALL`, `as_str` and `FromStr`, whose error is the list of all names.
///
/// ```
/// derives::named! {
///     /// A colour.
///     pub enum Colour {
///         /// The colour of grass.
///         Green = "green",
///         /// The colour of the sky.
///         Blue = "blue",
///     }
/// }
/// assert_eq!("blue".parse(), Ok(Colour::Blue));
/// assert_eq!("red".parse::<Colour>(), Err("green, blue".to_string()));
/// ```
#[macro_export]
macro_rules! named {
    (
        $(#[$meta:meta])*
        $vis:vis enum $name:ident { $( $(#[$doc:meta])* $variant:ident = $text:literal, )* }
    ) => {
        $crate::value! {
            $(#[$meta])*
            $vis enum $name { $( $(#[$doc])* $variant, )* }
        }

        impl $name {
            /// All variants.
            $vis const ALL: &[$name] = &[$( $name::$variant, )*];

            /// Its name in settings and logs.
            $vis fn as_str(self) -> &'static str {
                match self { $( $name::$variant => $text, )* }
            }
        }

        impl std::str::FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                let all = $name::ALL.iter();
                let found = all.copied().find(|variant| variant.as_str() == text);
                found.ok_or_else(|| [$( $text, )*].join(", "))
            }
        }
    };
}
