// Command _trial plays the cases of the second review: it starts the entry
// program as separate processes against stand-ins of the platform's store, of
// the workers and of clients, on loopback and the real clock.
//
//	trial CASE FOLDER TROUBLE
//
// It writes FOLDER/record.txt and exits with 1 if the rule of the case was
// broken, with 0 if it held and with 2 if the case could not run. With
// 0 for TROUBLE it does the same without the disruption.
package main
