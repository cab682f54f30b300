const FIELD_OVERHEAD_BYTES = 16;

/**
 * Estimates the encoded size of a message in bytes: the lengths of its strings
 * and byte arrays plus a fixed overhead for each field. Cheap enough for every
 * message sent.
 */
export default function estimateSize(value: unknown): number {
  if (typeof value === 'string') return FIELD_OVERHEAD_BYTES + value.length;
  if (value instanceof Uint8Array) return FIELD_OVERHEAD_BYTES + value.length;
  if (typeof value !== 'object' || value === null) return FIELD_OVERHEAD_BYTES;
  return Object.values(value).reduce<number>(
    (sum, item) => sum + estimateSize(item),
    FIELD_OVERHEAD_BYTES,
  );
}
