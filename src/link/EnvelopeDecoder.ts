import ENVELOPE_HEADER_BYTES from './ENVELOPE_HEADER_BYTES';
import MESSAGE_LIMITS from './MESSAGE_LIMITS';

/** One envelope of a stream. */
interface Envelope {
  readonly flags: number;
  readonly content: Uint8Array;
}

/** Cuts the bytes of a stream into the envelopes of the Connect protocol, however they arrive. */
export default class EnvelopeDecoder {
  /** What has arrived of an envelope that is not whole. */
  private parts: Uint8Array[] = [];

  private size = 0;

  /** Bytes that must be there before anything can be cut. */
  private wanted = ENVELOPE_HEADER_BYTES;

  private constructor() {}

  /** Creates one at the start of a stream. */
  static create(): EnvelopeDecoder {
    return new EnvelopeDecoder();
  }

  /** Whether the bytes so far end within an envelope. */
  get hasPartialEnvelope(): boolean {
    return this.size > 0;
  }

  /** The envelopes that are whole with these bytes. Throws at one that is longer than allowed. */
  push(chunk: Uint8Array): readonly Envelope[] {
    this.parts.push(chunk);
    this.size += chunk.length;
    if (this.size < this.wanted) return [];
    const bytes = this.parts.length === 1 ? chunk : Buffer.concat(this.parts, this.size);
    return this.cut(bytes);
  }

  private cut(bytes: Uint8Array): readonly Envelope[] {
    const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const envelopes: Envelope[] = [];
    let at = 0;
    this.wanted = ENVELOPE_HEADER_BYTES;
    while (bytes.length - at >= ENVELOPE_HEADER_BYTES) {
      const length = view.getUint32(at + 1);
      if (length > MESSAGE_LIMITS.readMaxBytes) throw new Error(`a frame of ${length} bytes`);
      const end = at + ENVELOPE_HEADER_BYTES + length;
      if (end > bytes.length) {
        this.wanted = end - at;
        break;
      }
      const content = bytes.subarray(at + ENVELOPE_HEADER_BYTES, end);
      envelopes.push({ flags: view.getUint8(at), content });
      at = end;
    }
    this.size = bytes.length - at;
    this.parts = this.size > 0 ? [bytes.subarray(at)] : [];
    return envelopes;
  }
}
