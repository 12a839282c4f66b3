// Package control implements a control host's handling of configuration, leases
// and orders on the replicated log of group port.GroupConfig.
//
// Machine is the state machine of the log. Server answers entries and operators:
// when this host becomes leader it opens an epoch, and while it leads it grants
// serving leases, distributes changes and reports when a revision is in force.
package control
