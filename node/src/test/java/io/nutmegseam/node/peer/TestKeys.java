package io.nutmegseam.node.peer;

import io.nutmegseam.node.settings.NodeSettings;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;

/** Creates self-signed keys with the JDK's keytool, as PEM files. */
final class TestKeys {
  private static final char[] PASSWORD = "password".toCharArray();

  private TestKeys() {}

  /** Creates a key and writes its files; replaces the files of an earlier key of the same name. */
  static NodeSettings.PeerTls create(Path folder, String name)
      throws IOException, InterruptedException, GeneralSecurityException {
    Path store = folder.resolve(name + ".p12");
    Files.deleteIfExists(store);
    Path keytool = Path.of(System.getProperty("java.home"), "bin", "keytool");
    new ProcessBuilder(
            keytool.toString(),
            "-genkeypair",
            "-alias",
            "k",
            "-keyalg",
            "EC",
            "-dname",
            "CN=" + name,
            "-storetype",
            "PKCS12",
            "-storepass",
            new String(PASSWORD),
            "-keystore",
            store.toString())
        .start()
        .waitFor();
    KeyStore keys = KeyStore.getInstance("PKCS12");
    try (InputStream in = Files.newInputStream(store)) {
      keys.load(in, PASSWORD);
    }
    String certificate = pem("CERTIFICATE", keys.getCertificate("k").getEncoded());
    String key = pem("PRIVATE KEY", keys.getKey("k", PASSWORD).getEncoded());
    return new NodeSettings.PeerTls(
        write(folder, name + ".crt", certificate),
        write(folder, name + ".key", key),
        write(folder, name + ".ca", certificate));
  }

  private static String write(Path folder, String file, String text) throws IOException {
    return Files.writeString(folder.resolve(file), text).toString();
  }

  private static String pem(String kind, byte[] bytes) {
    String body = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(bytes);
    return "-----BEGIN " + kind + "-----\n" + body + "\n-----END " + kind + "-----\n";
  }
}
