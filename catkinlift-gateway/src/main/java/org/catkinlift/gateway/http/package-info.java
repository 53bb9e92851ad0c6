/** An HTTP/1.1 client and server on Netty for requests and responses with short text bodies. */
package org.catkinlift.gateway.http;
