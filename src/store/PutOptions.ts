/** Conditions of a write to the platform's key-value service. */
export default interface PutOptions {
  /** The revision that the key must have; 0 if the key must not exist; absent for an unconditional write. */
  readonly expectRevision?: number;
  /** The lease that the key is bound to; the key is deleted when the lease ends. */
  readonly lease?: string;
}
