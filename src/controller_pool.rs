//! Fixed workers that run the controllers' periodic steps.
