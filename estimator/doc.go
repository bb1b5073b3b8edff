// Package estimator tells from measured times when an answer is overdue.
package estimator
