/** Stand-in for a plain service, with a ledger of the calls that ran. */
package io.nutmegseam.standin.service;
