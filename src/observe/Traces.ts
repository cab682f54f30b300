import { resourceFromAttributes } from '@opentelemetry/resources';
import type Random from '../core/Random';
import type TimerService from '../core/TimerService';
import version from '../core/version';
import type Settings from '../settings/Settings';
import LineSink from './LineSink';
import type Metrics from './Metrics';
import OtlpSink from './OtlpSink';
import SpanBuffer from './SpanBuffer';
import type SpanSink from './SpanSink';
import Tracer from './Tracer';

/** Dependencies of the tracing of a process. */
interface TracesOptions {
  readonly timer: TimerService;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly incarnation: string;
  readonly settings: Pick<Settings, 'cluster' | 'instance' | 'zone' | 'role' | 'traces'>;
}

/** The tracer of a process, together with the export of its spans. */
export default class Traces {
  private constructor(
    readonly tracer: Tracer,
    private readonly buffer: SpanBuffer,
  ) {}

  /** Creates the tracer and its export from the settings; undefined when they name no destination for spans. */
  static create(options: TracesOptions): Traces | undefined {
    const { timer, random, metrics, incarnation, settings } = options;
    const sink = createSink(settings.traces);
    if (!sink) return undefined;
    const resource = resourceFromAttributes({
      'service.name': `magnoliakeel-${settings.role}`,
      'service.namespace': settings.cluster,
      'service.instance.id': settings.instance,
      'service.version': version,
      'magnoliakeel.incarnation': incarnation,
      'magnoliakeel.zone': settings.zone,
    });
    const buffer = SpanBuffer.create({ timer, metrics, sink, resource });
    const { sample } = settings.traces;
    const ended = buffer.add.bind(buffer);
    const tracer = Tracer.create({ timer, random, incarnation, sample, onEnd: ended });
    return new Traces(tracer, buffer);
  }

  /** Exports the remaining spans, for a short time at most. */
  close(): Promise<void> {
    return this.buffer.close();
  }
}

function createSink({ otlp, output }: Settings['traces']): SpanSink | undefined {
  if (otlp !== '') return OtlpSink.to(otlp);
  return output === 'stdout' ? LineSink.to(process.stdout) : undefined;
}
