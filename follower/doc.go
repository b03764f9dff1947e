// Package follower keeps an entry at the operator's newest configuration.
package follower
