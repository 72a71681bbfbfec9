/** A small HTTP server on Netty whose connections can be cut at any byte. */
package io.nutmegseam.standin.http;
