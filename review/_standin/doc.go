// Command standin plays one case of the review: it runs stand-ins of the platform's store and of the workers on
// loopback addresses, starts entry processes against them, sends jobs, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main
