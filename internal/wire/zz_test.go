package wire
import ("testing";"os";"io";"runtime/pprof")
func TestZZ(t *testing.T){ f,_:=os.Open("/tmp/d/b1.in"); c,_:=os.Create("/tmp/d/cpu.out"); pprof.StartCPUProfile(c); Serve(f,io.Discard); pprof.StopCPUProfile() }
