/** One difference between two manifests. */
export default interface ManifestChange {
  readonly kind: 'added' | 'removed' | 'changed';
  /** Dotted keys; services and teams by their names: `services.booking.timeoutMs`. */
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}
