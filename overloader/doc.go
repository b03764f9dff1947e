// Package overloader runs the entries as separate processes with little memory and checks that crowds of clients that stay within the limits of a request do not terminate them.
package overloader
