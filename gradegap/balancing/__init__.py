"""The balancing decisions of one proxy, free of I/O and of clocks: events go in, actions come out.

The package holds the complete state that one proxy keeps about endpoints and requests. Its public parts are
`balancer.Balancer`, its input and output types (`events`, `actions`, `settings`), the settings parser
(`settings_reader`) and `observer.DecisionObserver`. From the other modules, other packages import only
constants and the estimators of `rates`. This package imports no other package of the program.
"""
