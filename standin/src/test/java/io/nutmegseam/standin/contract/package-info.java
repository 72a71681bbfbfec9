/** Contract tests of each interface: the stand-in through the real adapter, faults in tables. */
package io.nutmegseam.standin.contract;
