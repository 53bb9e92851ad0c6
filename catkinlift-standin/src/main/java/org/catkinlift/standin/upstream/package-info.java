/** A stand-in for a server that owns keys and executes requests. */
package org.catkinlift.standin.upstream;
