// Package fakes is under construction.
package fakes
