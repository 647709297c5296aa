package target

// MaxConcurrentRedials exports maxConcurrentRedials to the external tests of this package.
const MaxConcurrentRedials = maxConcurrentRedials
