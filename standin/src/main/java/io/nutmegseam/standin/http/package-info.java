/** A small HTTP server on Netty that can close a connection at any byte of a response. */
package io.nutmegseam.standin.http;
