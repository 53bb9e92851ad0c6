/** A stand-in for an upstream: a server that owns keys and executes requests. */
package org.catkinlift.standin.upstream;
