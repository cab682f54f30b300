/** Paths of the PEM files that processes secure their connections with. */
export default interface TlsFiles {
  /** The certificate of this process, with the ones between it and the authority. */
  readonly cert: string;
  readonly key: string;
  /** The authority that the certificates of all processes come from. */
  readonly ca: string;
}
