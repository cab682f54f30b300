/** What the stand-in links of one process have exchanged since its start. */
export default interface StandInCounters {
  links: number;
  messagesReceived: number;
  messagesSent: number;
  tasks: number;
}
