package io.nutmegseam.core.fleet;

/**
 * A model, or one adapter of it.
 *
 * @param model name of the model
 * @param adapter name of the adapter; empty for the model itself
 */
public record ModelRef(String model, String adapter) {
  /** Parses a reference of the form {@code model} or {@code model/adapter}. */
  public static ModelRef parse(String text) {
    int slash = text.indexOf('/');
    return slash < 0
        ? new ModelRef(text, "")
        : new ModelRef(text.substring(0, slash), text.substring(slash + 1));
  }

  /** Returns the reference to the model without the adapter. */
  public ModelRef base() {
    return adapter.isEmpty() ? this : new ModelRef(model, "");
  }

  /** Returns whether this reference names an adapter. */
  public boolean isAdapter() {
    return !adapter.isEmpty();
  }

  @Override
  public String toString() {
    return isAdapter() ? model + "/" + adapter : model;
  }
}
