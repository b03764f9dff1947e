// Package arranger decides which task of which job runs where and when, and whom it displaces.
//
// It has no input or output and no clock: the caller tells it what happened and
// at what time, and carries out the orders that it returns. It is not safe for
// concurrent use.
package arranger
