import { type SpanContext, SpanKind, TraceFlags } from '@opentelemetry/api';
import { parseTraceParent } from '@opentelemetry/core';
import murmurhash from 'murmurhash';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import Span from './Span';

/** What a tracer is made of. */
interface TracerOptions {
  readonly timer: TimerService;
  readonly random: Random;
  /** Unique for each run of the process, so that no two processes make the same ids. */
  readonly incarnation: string;
  /** Share of the requests that are traced although their caller said nothing of a trace. */
  readonly sample: number;
  /** Takes spans that have ended. */
  readonly ended: (span: Span) => void;
}

/**
 * Begins the spans of a process. A request is traced when its caller's `traceparent` says so; one
 * whose `traceparent` says no is not; of those without one, the share of the settings is.
 */
export default class Tracer {
  private readonly salt: number;

  /** Wall-clock time minus monotonic time, as of `anchoredAt`. */
  private anchor = 0;

  private anchoredAt = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: TracerOptions) {
    this.salt = murmurhash.v3(options.incarnation);
  }

  /** Creates the tracer of a process. */
  static create(options: TracerOptions): Tracer {
    return new Tracer(options);
  }

  /** Begins the span of a caller's request; undefined when it is not traced. */
  request(name: string, traceparent: string): Span | undefined {
    const parent = parentOf(traceparent);
    if (parent) return isSampled(parent) ? this.begin(name, SpanKind.SERVER, parent) : undefined;
    const { sample, random } = this.options;
    if (sample === 0 || random.unit() >= sample) return undefined;
    return this.begin(name, SpanKind.SERVER, undefined);
  }

  /**
   * Begins the span of a further hop; undefined when the request is not traced.
   * @param startedAt when the hop began, by the timer service; now, when it is left out
   */
  hop(name: string, kind: SpanKind, traceparent: string, startedAt?: number): Span | undefined {
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
      traceId: parent?.traceId ?? this.newId(TRACE_WORDS),
      spanId: this.newId(SPAN_WORDS),
      traceFlags: TraceFlags.SAMPLED,
    };
    return Span.begin({
      name,
      kind,
      context,
      parent,
      startMs: this.wallAt(startedAt),
      ended: this.options.ended,
      now: () => this.wallAt(this.options.timer.now()),
    });
  }

  /** Wall-clock time with the resolution of the monotonic clock. */
  private wallAt(at: number): number {
    const { timer } = this.options;
    const now = timer.now();
    if (now - this.anchoredAt > ANCHOR_MS) {
      this.anchor = timer.wall() - now;
      this.anchoredAt = now;
    }
    return at + this.anchor;
  }

  private newId(words: number): string {
    let id = '';
    for (let word = 0; word < words; word += 1) {
      const bits = Math.floor(this.options.random.unit() * WORD_LIMIT);
      // Id words of all zeroes are not allowed as a whole; setting one bit rules that out.
      const mixed = ((bits ^ this.salt) | 1) >>> 0; // eslint-disable-line no-bitwise
      id += mixed.toString(16).padStart(8, '0');
    }
    return id;
  }
}

/** How long the difference of the two clocks is kept. */
const ANCHOR_MS = 10_000;

const TRACE_WORDS = 4;
const SPAN_WORDS = 2;
const WORD_LIMIT = 2 ** 32;

function parentOf(traceparent: string): SpanContext | undefined {
  if (traceparent === '') return undefined;
  const parent = parseTraceParent(traceparent);
  return parent ? { ...parent, isRemote: true } : undefined;
}

/* eslint-disable-next-line no-bitwise */
const isSampled = ({ traceFlags }: SpanContext) => (traceFlags & TraceFlags.SAMPLED) !== 0;
