/** Strict reading of JSON documents: every error is named, and nothing unknown is accepted. */
package org.catkinlift.daemon.json;
