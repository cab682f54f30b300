import { type SpanContext, SpanKind, TraceFlags } from '@opentelemetry/api';
import { parseTraceParent } from '@opentelemetry/core';
import murmurhash from 'murmurhash';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import Span from './Span';

/** Dependencies of a tracer. */
interface TracerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Unique for each run of the process, so that no two processes generate the same ids. */
  readonly incarnation: string;
  /** Share of the requests without a `traceparent` that are traced, from 0 to 1. */
  readonly sample: number;
  /** Called with each span that has ended. */
  readonly onEnd: (span: Span) => void;
}

/**
 * Starts the spans of a process. Whether a request is traced follows the sampled flag of its caller's
 * `traceparent`; of the requests without one, the share given in the settings is traced.
 */
export default class Tracer {
  private readonly salt: number;

  /** Wall-clock time minus monotonic time, as of `offsetReadAt`, ms. */
  private clockOffsetMs = 0;

  private offsetReadAt = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: TracerOptions) {
    this.salt = murmurhash.v3(options.incarnation);
  }

  /** Creates the tracer of a process. */
  static create(options: TracerOptions): Tracer {
    return new Tracer(options);
  }

  /** Starts the span of a caller's request; undefined when it is not traced. */
  startRequest(name: string, traceparent: string): Span | undefined {
    const parent = parentOf(traceparent);
    if (parent) return isSampled(parent) ? this.begin(name, SpanKind.SERVER, parent) : undefined;
    const { sample, random } = this.options;
    if (sample === 0 || random.unit() >= sample) return undefined;
    return this.begin(name, SpanKind.SERVER, undefined);
  }

  /**
   * Starts the span of a further hop; undefined when the request is not traced.
   * @param startedAt when the hop began, in the timer service's monotonic time; now by default
   */
  startHop(
    name: string,
    kind: SpanKind,
    traceparent: string,
    startedAt?: number,
  ): Span | undefined {
    if (traceparent === '') return undefined;
    const parent = parentOf(traceparent);
    return parent && isSampled(parent) ? this.begin(name, kind, parent, startedAt) : undefined;
  }

  private begin(
    name: string,
    kind: SpanKind,
    parent: SpanContext | undefined,
    startedAt = this.options.timer.now(),
  ): Span {
    const context = {
      traceId: parent?.traceId ?? this.newId(TRACE_ID_WORDS),
      spanId: this.newId(SPAN_ID_WORDS),
      traceFlags: TraceFlags.SAMPLED,
    };
    return Span.begin({
      name,
      kind,
      context,
      parent,
      startMs: this.wallTimeOf(startedAt),
      onEnd: this.options.onEnd,
      now: () => this.wallTimeOf(this.options.timer.now()),
    });
  }

  /** Wall-clock time with the resolution of the monotonic clock. */
  private wallTimeOf(at: number): number {
    const { timer } = this.options;
    const now = timer.now();
    if (now - this.offsetReadAt > CLOCK_OFFSET_MAX_AGE_MS) {
      this.clockOffsetMs = timer.wall() - now;
      this.offsetReadAt = now;
    }
    return at + this.clockOffsetMs;
  }

  private newId(words: number): string {
    let id = '';
    for (let word = 0; word < words; word += 1) {
      const bits = Math.floor(this.options.random.unit() * WORD_VALUES);
      // An id of all zeroes is invalid; one bit that is always set rules that out.
      const mixed = ((bits ^ this.salt) | 1) >>> 0; // eslint-disable-line no-bitwise
      id += mixed.toString(16).padStart(8, '0');
    }
    return id;
  }
}

/** How long the offset between the two clocks is used before it is read again, ms. */
const CLOCK_OFFSET_MAX_AGE_MS = 10_000;

const TRACE_ID_WORDS = 4;
const SPAN_ID_WORDS = 2;
const WORD_VALUES = 2 ** 32;

function parentOf(traceparent: string): SpanContext | undefined {
  if (traceparent === '') return undefined;
  const parent = parseTraceParent(traceparent);
  return parent ? { ...parent, isRemote: true } : undefined;
}

/* eslint-disable-next-line no-bitwise */
const isSampled = ({ traceFlags }: SpanContext) => (traceFlags & TraceFlags.SAMPLED) !== 0;
