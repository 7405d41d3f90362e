"""Every decision of gradegap, without I/O and without a clock: events go in, actions come out.

The package owns all that one proxy knows of endpoints and requests. Its public parts are
`balancer.Balancer`, the values that go in and out (`events`, `actions`, `settings`), the reader of settings
(`settings_reader`) and `observer.DecisionObserver`; other packages import no other module of it, but for
constants and the estimators of `rates`. It imports nothing of the program.
"""
