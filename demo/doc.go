// Package demo is under construction.
package demo
