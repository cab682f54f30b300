import type SimulationEvent from '../support/SimulationEvent';

type Started = Extract<SimulationEvent, { kind: 'started' }>;
type Called = Extract<SimulationEvent, { kind: 'called' }>;
type Answered = Extract<SimulationEvent, { kind: 'answered' }>;

/** All events of one id. */
interface CallHistory {
  readonly id: string;
  readonly starts: readonly Started[];
  readonly calls: readonly Called[];
  readonly answers: readonly Answered[];
}

/**
 * Checks the guarantees against what callers and backend servers observed, and
 * returns the violations, a line each. It uses nothing of the code under test.
 */
export default function checkOutcomes(
  events: readonly SimulationEvent[],
  answerWithinMs: number,
): string[] {
  const ids = [...new Set(events.map(({ id }) => id))];
  return ids.flatMap((id) => {
    const own = events.filter((event) => event.id === id);
    const history: CallHistory = {
      id,
      starts: own.filter((event) => event.kind === 'started'),
      calls: own.filter((event) => event.kind === 'called'),
      answers: own.filter((event) => event.kind === 'answered'),
    };
    return [
      ...doubleStarts(history),
      ...falseNotRuns(history),
      ...wrongAnswers(history),
      ...differentAnswers(history),
      ...unanswered(history, answerWithinMs),
    ].map((broken) => `${id}: ${broken}`);
  });
}

/** No attempt starts twice, and only idempotent requests have more than one attempt. */
function doubleStarts({ starts, calls }: CallHistory): string[] {
  const idempotent = calls.some((call) => call.idempotent);
  const names = starts.map(({ task, index }) => (idempotent ? task : `task ${index}`));
  const doubled = names.filter((name, at) => names.indexOf(name) !== at);
  return [...new Set(doubled)].map((name) => `${name} started twice`);
}

/** "Not run" means that nothing was started before, and nothing will be without another call. */
function falseNotRuns({ starts, calls, answers }: CallHistory): string[] {
  const refused = answers.filter(({ outcome }) => outcome === 'not-run');
  return refused.flatMap((answer) => {
    const startsBefore = starts.filter(({ at }) => at <= answer.at).length;
    if (startsBefore > 0) return [`"not run" at ${answer.at} after ${startsBefore} starts`];
    const isLast = calls.every(
      ({ call }) => call <= answer.call || isAnsweredBy(call, answers, answer),
    );
    return isLast && starts.length > 0 ? [`started after the last answer, "not run"`] : [];
  });
}

function isAnsweredBy(call: number, answers: readonly Answered[], until: Answered): boolean {
  return answers.some((answer) => answer.call === call && answer.at <= until.at);
}

/** A completed answer has the result of every task; any other answer has none. */
function wrongAnswers({ calls, answers, starts }: CallHistory): string[] {
  return answers.flatMap(({ outcome, outputs, call, at }) => {
    if (outcome !== 'completed') return outputs.length > 0 ? [`"${outcome}" with results`] : [];
    const { expected } = calls.find((called) => called.call === call)!;
    const wrong = outputs.join() !== expected.join() ? [`answer ${outputs.join()}`] : [];
    const ran = new Set(starts.filter((start) => start.at <= at).map(({ index }) => index));
    return ran.size < expected.length ? [...wrong, 'completed without all starts'] : wrong;
  });
}

/** Completed and failed are final: any later answer is the same, except for a lost connection. */
function differentAnswers({ answers }: CallHistory): string[] {
  const finals = answers.filter(({ outcome }) => outcome === 'completed' || outcome === 'failed');
  const bodies = new Set(finals.map(({ outcome, outputs }) => `${outcome} ${outputs.join()}`));
  return bodies.size > 1 ? [`different answers: ${[...bodies].join(' | ')}`] : [];
}

/** Every call ends in time, with an answer or the end of its connection. */
function unanswered({ calls, answers }: CallHistory, withinMs: number): string[] {
  return calls.flatMap(({ call, at }) => {
    const answer = answers.find((answered) => answered.call === call);
    if (!answer) return [`no answer to call ${call}`];
    return answer.at - at > withinMs ? [`answered after ${answer.at - at} ms`] : [];
  });
}
