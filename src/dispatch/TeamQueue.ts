import type QueuedTask from './QueuedTask';

/**
 * The waiting tasks of one service, shared fairly between teams by deficit
 * round robin. Each team's tasks keep their order, so that a job's tasks start
 * together and jobs finish one after the other.
 */
export default class TeamQueue {
  private readonly teams = new Map<string, TeamLine>();

  /** Teams with waiting tasks, the one whose turn it is first. */
  private readonly turns: TeamLine[] = [];

  private waiting = 0;

  private constructor(private readonly shareOf: (team: string) => number) {}

  /** Creates an empty queue; `shareOf` gives a team's weight, 1 for an ordinary one. */
  static create(shareOf: (team: string) => number): TeamQueue {
    return new TeamQueue(shareOf);
  }

  /** Number of waiting tasks. */
  get length(): number {
    return this.waiting;
  }

  /** Adds a task behind its team's others. */
  push(task: QueuedTask): void {
    this.lineOf(task.team).tasks.push(task);
    this.waiting += 1;
  }

  /** Puts a task back before its team's others, after a start that was not run. */
  pushFront(task: QueuedTask): void {
    const line = this.lineOf(task.team);
    if (line.head > 0) {
      line.head -= 1;
      line.tasks[line.head] = task;
    } else {
      line.tasks.unshift(task);
    }
    this.waiting += 1;
  }

  /** Takes the next task in turn for which `allowed` holds for its team. */
  shift(allowed: (team: string) => boolean = () => true): QueuedTask | undefined {
    let skipped = 0;
    while (this.turns.length > skipped) {
      const line = this.turns[0]!;
      if (line.head >= line.tasks.length) {
        this.endTurns(line);
      } else if (!allowed(line.team)) {
        this.turns.push(this.turns.shift()!);
        skipped += 1;
      } else if (line.deficit < 1) {
        line.deficit += this.shareOf(line.team);
        this.turns.push(this.turns.shift()!);
        skipped = 0;
      } else {
        return this.takeFrom(line);
      }
    }
    return undefined;
  }

  /** Removes the tasks and returns those that were waiting here. */
  remove(tasks: ReadonlySet<QueuedTask>): QueuedTask[] {
    const removed: QueuedTask[] = [];
    this.teams.forEach((line) => {
      const kept: QueuedTask[] = [];
      for (let at = line.head; at < line.tasks.length; at += 1) {
        const task = line.tasks[at]!;
        (tasks.has(task) ? removed : kept).push(task);
      }
      line.tasks = kept;
      line.head = 0;
    });
    this.waiting -= removed.length;
    return removed;
  }

  /** When the longest waiting task joined the queue; undefined when none waits. */
  oldestQueuedAt(): number | undefined {
    let oldest: number | undefined;
    this.turns.forEach((line) => {
      const first = line.tasks[line.head];
      if (first && (oldest === undefined || first.queuedAt < oldest)) oldest = first.queuedAt;
    });
    return oldest;
  }

  /** About how many tasks are started before the last one of a team, by the teams' shares. */
  tasksAhead(team: string): number {
    const line = this.teams.get(team);
    const own = line ? line.tasks.length - line.head : 0;
    let ahead = own;
    this.forEachTeam((other, queued) => {
      if (other === team) return;
      ahead += Math.min(queued, ((own + 1) * this.shareOf(other)) / this.shareOf(team));
    });
    return ahead;
  }

  /** Calls the visitor with each team that has waiting tasks and their number. */
  forEachTeam(visit: (team: string, queued: number) => void): void {
    this.teams.forEach((line) => {
      const queued = line.tasks.length - line.head;
      if (queued > 0) visit(line.team, queued);
    });
  }

  private lineOf(team: string): TeamLine {
    let line = this.teams.get(team);
    if (!line) {
      line = { team, tasks: [], head: 0, deficit: 0, inTurn: false };
      this.teams.set(team, line);
    }
    if (!line.inTurn) {
      line.inTurn = true;
      line.deficit = this.shareOf(team);
      this.turns.push(line);
    }
    return line;
  }

  private takeFrom(line: TeamLine): QueuedTask {
    const task = line.tasks[line.head]!;
    line.head += 1;
    line.deficit -= 1;
    this.waiting -= 1;
    if (line.head > COMPACT_AFTER) compact(line);
    return task;
  }

  private endTurns(line: TeamLine): void {
    this.turns.shift();
    this.teams.delete(line.team);
  }
}

/** One team's waiting tasks, from `head` on. */
interface TeamLine {
  readonly team: string;
  tasks: QueuedTask[];
  head: number;
  deficit: number;
  inTurn: boolean;
}

const COMPACT_AFTER = 1024;

function compact(line: TeamLine): void {
  line.tasks.splice(0, line.head);
  line.head = 0;
}
