// Package follower watches the store for the operator's newest configuration.
package follower
