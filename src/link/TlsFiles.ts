/** Paths of the PEM files for mutual TLS between processes. */
export default interface TlsFiles {
  /** The certificate of this process, followed by the intermediate certificates. */
  readonly cert: string;
  readonly key: string;
  /** The certificate of the authority that issues the certificates of all processes. */
  readonly ca: string;
}
