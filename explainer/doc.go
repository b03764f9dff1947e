// Package explainer finds what the saved logs of all processes say of one request, in the order in which it happened.
package explainer
