/** HTTP/1.1 building blocks on Netty: a client for short calls and a server for short answers. */
package org.catkinlift.gateway.http;
