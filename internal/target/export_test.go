package target

// RedialsAtOnce is looked at by the tests of this package, which are external.
const RedialsAtOnce = redialsAtOnce
