package io.nutmegseam.node.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import io.nutmegseam.node.settings.NodeSettings;
import java.io.File;
import java.util.Optional;
import javax.net.ssl.SSLException;

/**
 * Creates the TLS contexts of peer connections from key files. The files are read for each new
 * connection, so that replaced keys take effect without a restart.
 */
public final class PeerTlsContexts {
  private final NodeSettings.PeerTls files;

  /**
   * Creates an instance that reads the given files.
   *
   * @param files paths of the key files; connections use TLS only if the paths are set
   */
  public PeerTlsContexts(NodeSettings.PeerTls files) {
    this.files = files;
  }

  /** Returns the context of accepted connections, which require a certificate of the peer. */
  Optional<SslContext> createServerContext() throws SSLException {
    if (!files.isEnabled()) {
      return Optional.empty();
    }
    return Optional.of(
        SslContextBuilder.forServer(new File(files.certificateFile()), new File(files.keyFile()))
            .sslProvider(SslProvider.JDK)
            .trustManager(new File(files.trustFile()))
            .clientAuth(ClientAuth.REQUIRE)
            .build());
  }

  /** Returns the context of opened connections. */
  Optional<SslContext> createClientContext() throws SSLException {
    if (!files.isEnabled()) {
      return Optional.empty();
    }
    return Optional.of(
        SslContextBuilder.forClient()
            .sslProvider(SslProvider.JDK)
            .keyManager(new File(files.certificateFile()), new File(files.keyFile()))
            .trustManager(new File(files.trustFile()))
            .build());
  }
}
