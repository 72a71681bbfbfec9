/**
 * Contract tests of the interfaces to backend servers and to the platform. Each test calls a
 * stand-in through the real client; parameter tables list the injected faults.
 */
package io.nutmegseam.standin.contract;
