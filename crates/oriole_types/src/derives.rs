//! Macros that declare types with a common set of derives and serde attributes.

/// Declares a type that is cloneable, comparable and serializable. Unknown fields are refused when
/// it is deserialized.
///
/// Use it for structures that are stored or sent. Enum variants are serialized in `snake_case`.
///
/// ```
/// oriole_types::domain_type! {
///     /// A point.
///     pub struct Point {
///         /// Abscissa in metres.
///         pub x: u32,
///     }
/// }
/// let p = Point { x: 1 };
/// assert_eq!(p.clone(), p);
/// ```
#[macro_export]
macro_rules! domain_type {
    ($(#[$meta:meta])* $vis:vis $kind:ident $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        #[serde(deny_unknown_fields, rename_all = "snake_case")]
        $(#[$meta])*
        $vis $kind $($rest)*
    };
}

/// Declares a small type like [`domain_type!`] that can also be copied, ordered and hashed.
///
/// Use it for enums without payload and for small structures that are map keys.
#[macro_export]
macro_rules! value_type {
    ($(#[$meta:meta])* $vis:vis $kind:ident $($rest:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(deny_unknown_fields, rename_all = "snake_case")]
        $(#[$meta])*
        $vis $kind $($rest)*
    };
}

/// Declares a newtype of a string that is cheap to clone.
///
/// It compares and hashes like its text, so that a `&str` can be used to look it up in a map.
#[macro_export]
macro_rules! name_type {
    ($(#[$meta:meta])* $vis:vis struct $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        $vis struct $name(::std::sync::Arc<str>);

        impl $name {
            /// Creates the name from its text.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// The text of the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl ::std::fmt::Debug for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

/// Declares a newtype of `u64`, so that different kinds of numbers cannot be mixed up.
#[macro_export]
macro_rules! number_type {
    ($(#[$meta:meta])* $vis:vis struct $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        $vis struct $name(pub u64);

        impl $name {
            /// This number plus 1.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}
