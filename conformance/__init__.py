"""Black-box conformance suites, which test a server at any address against its protocol's specification."""
