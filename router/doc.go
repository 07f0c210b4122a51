// Package router is under construction.
package router
