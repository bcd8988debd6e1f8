//! The library that ties the packages of cyclamenloft together.
