// Package guard keeps what callers hold of a VM, and do on it, within the settings of the VM. It serves
// the listeners of a process with one admission.Budget.
package guard
