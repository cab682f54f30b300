/** Conditions of a write to the platform's key-value service. */
export default interface PutOptions {
  /** The revision that the key must have; 0 for a key that must not exist; absent for no condition. */
  readonly expectRevision?: number;
  /** The lease whose end deletes the key. */
  readonly lease?: string;
}
