/** JSON codecs and strict decoders that report every error of a document. */
package org.catkinlift.daemon.json;
