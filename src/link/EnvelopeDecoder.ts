import ENVELOPE_HEADER_BYTES from './ENVELOPE_HEADER_BYTES';
import MESSAGE_LIMITS from './MESSAGE_LIMITS';

/** One envelope of a stream in the Connect protocol. */
interface Envelope {
  readonly flags: number;
  readonly content: Uint8Array;
}

/** Splits the bytes of a stream into envelopes of the Connect protocol, whatever chunks they arrive in. */
export default class EnvelopeDecoder {
  /** The bytes received of an incomplete envelope. */
  private chunks: Uint8Array[] = [];

  private bufferedBytes = 0;

  /** Number of buffered bytes needed before the next decoding step. */
  private neededBytes = ENVELOPE_HEADER_BYTES;

  private constructor() {}

  /** Creates a decoder for the start of a stream. */
  static create(): EnvelopeDecoder {
    return new EnvelopeDecoder();
  }

  /** Whether the bytes received so far end in the middle of an envelope. */
  get hasPartialEnvelope(): boolean {
    return this.bufferedBytes > 0;
  }

  /** Adds bytes and returns the envelopes that they complete. Throws if one is longer than allowed. */
  push(chunk: Uint8Array): readonly Envelope[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) return [];
    const bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks, this.bufferedBytes);
    return this.decode(bytes);
  }

  private decode(bytes: Uint8Array): readonly Envelope[] {
    const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const envelopes: Envelope[] = [];
    let at = 0;
    this.neededBytes = ENVELOPE_HEADER_BYTES;
    while (bytes.length - at >= ENVELOPE_HEADER_BYTES) {
      const length = view.getUint32(at + 1);
      if (length > MESSAGE_LIMITS.readMaxBytes) throw new Error(`frame too long: ${length} bytes`);
      const end = at + ENVELOPE_HEADER_BYTES + length;
      if (end > bytes.length) {
        this.neededBytes = end - at;
        break;
      }
      const content = bytes.subarray(at + ENVELOPE_HEADER_BYTES, end);
      envelopes.push({ flags: view.getUint8(at), content });
      at = end;
    }
    this.bufferedBytes = bytes.length - at;
    this.chunks = this.bufferedBytes > 0 ? [bytes.subarray(at)] : [];
    return envelopes;
  }
}
