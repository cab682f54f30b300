import type TimerService from '../../src/core/TimerService';
import type BatchAnswer from '../../src/batches/BatchAnswer';
import type Recording from './Recording';

interface AbsenceHandlers {
  /** Called when the process of an entry is killed. */
  readonly onLeave: (entry: number) => void;
  /** Called when it starts again; the time is relative to the start of the recording, ms. */
  readonly onReturn: (entry: number, atMs: number) => void;
}

/** Kills and restarts entries as a recording says; callers waiting at a killed entry lose their answers. */
export default class Absences {
  private readonly absent = new Set<number>();

  private readonly answerLosses = new Map<number, (() => void)[]>();

  private constructor(
    private readonly absences: NonNullable<Recording['absences']>,
    private readonly handlers: AbsenceHandlers,
  ) {}

  /** Creates the absences of a recording; nothing is scheduled yet. */
  static of({ absences = [] }: Recording, handlers: AbsenceHandlers): Absences {
    return new Absences(absences, handlers);
  }

  /** Whether the entry is absent now. */
  has(entry: number): boolean {
    return this.absent.has(entry);
  }

  /** Schedules all absences, counted from now. */
  schedule(timer: TimerService): void {
    this.absences.forEach(({ entry, fromMs, untilMs }) => {
      timer.after(fromMs, () => this.leave(entry));
      timer.after(untilMs, () => {
        this.absent.delete(entry);
        this.handlers.onReturn(entry, untilMs);
      });
    });
  }

  /** Submits a request; resolves to `unknown` if the entry is absent or is killed before it answers. */
  submitAt(entry: number, submit: () => Promise<BatchAnswer>): Promise<BatchAnswer['kind']> {
    if (this.has(entry)) return Promise.resolve('unknown');
    const lost = new Promise<'unknown'>((resolve) => {
      const losses = this.answerLosses.get(entry) ?? [];
      losses.push(() => resolve('unknown'));
      this.answerLosses.set(entry, losses);
    });
    return Promise.race([lost, submit().then(({ kind }) => kind)]);
  }

  private leave(entry: number): void {
    this.absent.add(entry);
    this.handlers.onLeave(entry);
    this.answerLosses.get(entry)?.forEach((loseAnswer) => loseAnswer());
    this.answerLosses.delete(entry);
  }
}
