const OVERHEAD_BYTES = 16;

/**
 * About how many bytes a message needs: the lengths of its texts and byte
 * strings and a little for each field. Cheap enough for every message sent.
 */
export default function estimateSize(value: unknown): number {
  if (typeof value === 'string') return OVERHEAD_BYTES + value.length;
  if (value instanceof Uint8Array) return OVERHEAD_BYTES + value.length;
  if (typeof value !== 'object' || value === null) return OVERHEAD_BYTES;
  return Object.values(value).reduce<number>(
    (sum, item) => sum + estimateSize(item),
    OVERHEAD_BYTES,
  );
}
